"""The rates that the endpoint list announces for the routes to a destination."""

from message_sender.core.engine import Engine


def announced_rates(engine: Engine, number: int) -> dict[str, float]:
    """Returns the announced rates of a destination, in calls per second by route.

    Args:
        engine: The engine whose endpoint list is read; until the engine has processed its first list, the
            configured endpoints are used.
        number: The destination's number.

    Returns:
        An entry for each endpoint with a limit of its own, by its id; the other endpoints share one entry
        under the empty id.
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
