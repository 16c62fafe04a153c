package zyexperiment

//go:generate enumer -type=Policy -linecomment -transform=title-lower
//go:generate enumer -type=EvenPolicy -trimprefix=Even -transform=title-lower
