"""Types of identifiers that several packages share."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
EndpointId = NewType("EndpointId", str)
DataCentre = NewType("DataCentre", str)
Team = NewType("Team", str)
AccountId = NewType("AccountId", str)
ClassName = NewType("ClassName", str)
ModelName = NewType("ModelName", str)
ServiceName = NewType("ServiceName", str)

RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
RequestDigest = NewType("RequestDigest", int)  # Equal for identical requests.
WriteId = NewType("WriteId", str)

Tier = NewType("Tier", int)  # 0 is the most urgent.
Revision = NewType("Revision", int)  # Incremented by each accepted write.
Incarnation = NewType("Incarnation", int)  # Increases with each process start.
SoftwareVersion = NewType("SoftwareVersion", str)
RunnerStart = NewType("RunnerStart", int)  # Unix ms of a runner's start.
FencingNumber = NewType("FencingNumber", int)  # Increases per lease holder.
