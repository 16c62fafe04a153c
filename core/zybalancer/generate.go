package zybalancer

//go:generate enumer -type=Exclusion -transform=title-lower -trimprefix=Excluded -text -json -output=enum_enumer.go
