"""Runs an entry that closes idle connections soon by itself."""

from __future__ import annotations

import sys

from godwitvalve.ingress import main
from godwitvalve.ingress import servers

KEEPALIVE_TIMEOUT_S = 0.5

if __name__ == '__main__':
    servers.KEEPALIVE_TIMEOUT_S = KEEPALIVE_TIMEOUT_S
    sys.exit(main.main())
