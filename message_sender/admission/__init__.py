"""Who gets in when there is no room: decisions alone, free of I/O."""
