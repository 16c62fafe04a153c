package zyexperiment

//go:generate enumer -type=Policy -transform=title-lower
