package zyentry

// FailureOf exports failureOf to the tests.
var FailureOf = failureOf
