"""What the machine lets this process use."""

from damsonlaned.machine._memory import find_memory_bytes

__all__ = ["find_memory_bytes"]
