package zinniayoke

//go:generate enumer -type=Outcome,Reason,WorkerState,Fate,MemberStatus -transform=title-lower -trimprefix=Outcome,Reason,Worker,Fate,Member -text -json -output=enum_enumer.go
