"""Messages between entry instances over gRPC."""

import os

# gRPC reads these when it is first imported: it logs each connection that a
# leaving peer closes, and prepares for forks, which this program never does.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
os.environ.setdefault("GRPC_ENABLE_FORK_SUPPORT", "0")
