"""Write-ahead log of accepted messages: record format, files, replay and compaction."""
