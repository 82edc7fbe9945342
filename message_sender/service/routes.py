"""The rates that the endpoint list announces for the routes to a destination."""

from message_sender.core.engine import Engine


def announced_rates(engine: Engine, number: int) -> dict[str, float]:
    """Calls a second by route, for one destination.

    Args:
        engine: Whose list is read; until it has processed its first list, the configured one.
        number: The destination's.

    Returns:
        By endpoint id for endpoints with a limit of their own, else one entry under the empty id.
    """
    dispatcher = engine.dispatcher
    destination = dispatcher.destinations.get(number)
    if destination:
        listed = [endpoint.listed for endpoint in destination.endpoints]
    else:
        listed = list(engine.config.known)
    kinds = dispatcher.registry.kinds
    return {
        endpoint.id if kinds[endpoint.kind].has_separate_routes else "": endpoint.scale
        for endpoint in listed
        if endpoint.destination == number
    }
