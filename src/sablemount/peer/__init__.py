"""The protocol between schedulers, over gRPC."""
