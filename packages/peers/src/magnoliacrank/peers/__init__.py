"""gRPC calls between entry instances: membership, messages, log records."""

import os

# gRPC reads these variables when it is first imported. By default it logs each
# connection that a leaving peer closes, and installs fork handlers, which are
# useless here because this program never forks.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
os.environ.setdefault("GRPC_ENABLE_FORK_SUPPORT", "0")
