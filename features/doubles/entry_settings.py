"""Settings of an entry on the platform whose store does not answer."""

from __future__ import annotations

from godwitvalve.platform import settings
from standins import local_site


def without_store(ip):
    """Return settings with free ports of an address."""
    ports = [local_site.free_port() for _ in range(6)]
    return settings.FleetSettings(
        'entry-0',
        'fd-0',
        ip,
        *(f'{ip}:{port}' for port in ports[:4]),
        peer_ports=(ports[4], ports[4] + 10),
        # Nothing listens there.
        store_address=f'{ip}:{ports[5]}',
        stop_limit_s=2.0,
    )
