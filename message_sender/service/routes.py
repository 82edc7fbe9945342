"""What the list tells of the routes to a destination."""

from message_sender.core.engine import Engine


def announced_rates(engine: Engine, number: int) -> dict[str, float]:
    """Calls a second by route: by endpoint where they are apart, else one under "". From the configuration's
    list until the engine has begun."""
    there = engine.dispatcher
    at = there.destinations.get(number)
    listed = [each.listed for each in at.endpoints] if at else engine.config.known
    return {
        each.id if there.registry.kinds[each.kind].apart else "": each.scale
        for each in listed
        if each.destination == number
    }
