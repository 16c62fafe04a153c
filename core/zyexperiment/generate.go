package zyexperiment

//go:generate enumer -type=Policy -linecomment -transform=title-lower
