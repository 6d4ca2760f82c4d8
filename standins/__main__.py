"""Run one stand-in: ``python -m standins KIND PORT [JSON OPTIONS]``."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

import msgspec  # noqa: E402

from standins import engine, platform, proxy, service  # noqa: E402


def main() -> None:
    """Run the stand-in of the kind and port given on the command line."""
    kind, port = sys.argv[1], int(sys.argv[2])
    options = msgspec.json.decode(sys.argv[3]) if len(sys.argv) > 3 else {}
    if kind == "platform":
        platform.run(port)
    elif kind == "engine":
        engine.run(port, options)
    elif kind == "service":
        service.run(port, options)
    elif kind == "proxy":
        proxy.run(port, options["control_port"], options["target"])
    else:
        sys.exit(f"unknown stand-in {kind!r}")


if __name__ == "__main__":
    main()
