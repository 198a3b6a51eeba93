"""HTTP clients for the platform, targets and stores, and the HTTP server.

- ``HttpClient`` uses httpx and supports TLS and all methods.
- ``PollingClient`` makes frequent GET requests with little CPU time per request.
- ``BytesClient`` makes short calls of all methods to one host and port, and honours
  the keep-alive timeout of the server.
"""

from __future__ import annotations
