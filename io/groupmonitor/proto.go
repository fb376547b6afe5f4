package groupmonitor

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/io/host/hostpb"
)

func toProto(d fleet.DataCentre, views []group.InstanceView) *hostpb.ViewResponse {
	r := &hostpb.ViewResponse{DataCentre: string(d)}
	for _, v := range views {
		r.Instances = append(r.Instances, &hostpb.InstanceView{
			Instance:  string(v.Instance),
			Reachable: v.Reachable,
			SilentUs:  uint64(v.Silent / time.Microsecond),
			Term:      uint64(v.Term),
			Last:      &hostpb.Point{Term: uint64(v.Last.Term), Position: uint64(v.Last.Index)},
			Role:      string(v.Role),
		})
	}
	return r
}

func fromProto(h fleet.Host, at time.Time, r *hostpb.ViewResponse) group.View {
	v := group.View{Host: h, DataCentre: fleet.DataCentre(r.GetDataCentre()), At: at}
	for _, i := range r.GetInstances() {
		v.Instances = append(v.Instances, group.InstanceView{
			Instance:  fleet.Instance(i.GetInstance()),
			Reachable: i.GetReachable(),
			Silent:    time.Duration(i.GetSilentUs()) * time.Microsecond,
			Term:      fleet.Term(i.GetTerm()),
			Last: fleet.LogPosition{
				Term:  fleet.Term(i.GetLast().GetTerm()),
				Index: fleet.LogIndex(i.GetLast().GetPosition()),
			},
			Role: fleet.Role(i.GetRole()),
		})
	}
	return v
}
