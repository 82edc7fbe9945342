"""After a power loss: what is trusted (pure), the stages in which service returns (pure), the snapshot."""
