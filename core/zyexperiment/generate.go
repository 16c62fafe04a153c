package zyexperiment

//go:generate enumer -type=Policy,EvenPolicy -linecomment -transform=title-lower
