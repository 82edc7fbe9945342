"""A bare proxy without journal, policy or retries: the baseline cost of forwarding a message.

    python benchmarks/proxy.py PORT RECEIVER_PORT

Needs aiohttp, which no other part of the project uses. Forwards each POST to the receiver and answers 202
once the receiver has answered. capacity.py --proxy runs this script.
"""

import sys

from aiohttp import ClientSession, TCPConnector, web  # type: ignore[import-not-found]

MAX_CONNECTIONS = 60  # calls in flight at most; equals the slots of the sender in storm.py


async def make_proxy(receiver_port: int) -> web.Application:
    """Returns the proxy for a receiver that listens on this port."""
    app, url = web.Application(), f"http://127.0.0.1:{receiver_port}/hook"

    async def forward(request: web.Request) -> web.Response:
        headers = {"X-Correlation-Id": request.headers.get("X-Correlation-Id", "")}
        body = await request.read()
        async with app["session"].post(url, data=body, headers=headers) as response:
            return web.Response(status=202 if response.status == 200 else 502)

    async def open_session(app: web.Application) -> None:
        app["session"] = ClientSession(connector=TCPConnector(limit=MAX_CONNECTIONS))

    app.on_startup.append(open_session)
    app.router.add_post("/{name}", forward)
    return app


if __name__ == "__main__":
    web.run_app(
        make_proxy(int(sys.argv[2])), host="127.0.0.1", port=int(sys.argv[1]), access_log=None, print=None
    )
