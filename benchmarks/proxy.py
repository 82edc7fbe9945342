"""A bare proxy: no journal, no rules, no resends. What a message costs without all that a sender owes.

    python benchmarks/proxy.py PORT RECEIVER_PORT

Needs aiohttp, which nothing else of the project does. Each POST goes on to the receiver, and the client hears
202 once the receiver has answered. capacity.py --proxy runs it.
"""

import sys

from aiohttp import ClientSession, TCPConnector, web  # type: ignore[import-not-found]

CALLS = 60  # out at once, as the sender's slots in storm.py


async def serve(receiver: int) -> web.Application:
    app, hook = web.Application(), f"http://127.0.0.1:{receiver}/hook"

    async def forward(request: web.Request) -> web.Response:
        headers = {"X-Correlation-Id": request.headers.get("X-Correlation-Id", "")}
        body = await request.read()
        async with app["session"].post(hook, data=body, headers=headers) as got:
            return web.Response(status=202 if got.status == 200 else 502)

    async def session(app: web.Application) -> None:
        app["session"] = ClientSession(connector=TCPConnector(limit=CALLS))

    app.on_startup.append(session)
    app.router.add_post("/{name}", forward)
    return app


if __name__ == "__main__":
    web.run_app(serve(int(sys.argv[2])), host="127.0.0.1", port=int(sys.argv[1]), access_log=None, print=None)
