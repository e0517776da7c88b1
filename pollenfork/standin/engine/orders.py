"""Orders to the engine, and its check of their fencing numbers."""

from pollenfork import ids
from pollenfork.endpoints import edges


class Orders:
    """What orders have made of the engine.

    Attributes:
        carried_out: The orders carried out, oldest first.
    """

    def __init__(self, models: tuple[ids.ModelName, ...]) -> None:
        self.models = list(models)
        self.role = ""
        self.draining = False
        self.carried_out: list[edges.Order] = []
        self._highest = ids.FencingNumber(0)

    def carry_out(self, order: edges.Order, ignore_fencing: bool) -> bool:
        """Carries out an order; False where its fencing number is old.

        An order seen before has no second effect.
        """
        if any(o.order_id == order.order_id for o in self.carried_out):
            return True
        if order.fencing < self._highest and not ignore_fencing:
            return False
        self._highest = max(self._highest, order.fencing)
        self.carried_out.append(order)
        self._apply(order)
        return True

    def _apply(self, order: edges.Order) -> None:
        if order.kind is edges.OrderKind.DRAIN:
            self.draining = True
        elif order.kind is edges.OrderKind.CHANGE_ROLE:
            self.role = order.argument
        elif order.argument not in self.models:
            self.models.append(ids.ModelName(order.argument))
