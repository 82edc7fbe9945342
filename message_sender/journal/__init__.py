"""Write-ahead log of accepted messages: record format, files, syncs, replay and compaction."""
