package zyentry

// FailureOf is failureOf for the tests.
var FailureOf = failureOf
