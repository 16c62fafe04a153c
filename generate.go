package zinniayoke

//go:generate enumer -type=Outcome,Reason,WorkerState,AttemptState,MemberStatus,EventKind,QuotaState,Distance -transform=title-lower -trimprefix=Attempt,Outcome,Reason,Worker,Member,Event,Quota,Distance -text -json -output=enum_enumer.go
