package zynode

// SyncParallelism is syncParallelism for the tests.
var SyncParallelism = syncParallelism
