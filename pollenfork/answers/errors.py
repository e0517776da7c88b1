"""Failures of the data path before the caller's first byte."""

from pollenfork import failures


class AnswerFailure(failures.Failure, frozen=True, kw_only=True):
    """No answer; `outcome` says what is known of the request's effect."""

    outcome: failures.Outcome


class EndpointLost(AnswerFailure, frozen=True, kw_only=True):
    """The connection to the endpoint failed."""


class NoOtherEndpoint(AnswerFailure, frozen=True, kw_only=True):
    """The endpoint refused or broke, and no other may be tried."""
