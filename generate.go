package zinniayoke

//go:generate enumer -type=Outcome,Reason,WorkerState,Fate,MemberStatus,EventKind -transform=title-lower -trimprefix=Outcome,Reason,Worker,Fate,Member,Event -text -json -output=enum_enumer.go
