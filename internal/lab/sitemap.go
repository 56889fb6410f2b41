package lab

import (
	"fmt"
	"net"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/objectapi"
)

// The map of a scale run: 19 zones in 6 regions, each zone with a loopback
// number of its own, so that every process can tell from an address where it
// is.

// scaleRegions gives the number of zones of each region.
var scaleRegions = []int{4, 3, 3, 3, 3, 3}

// loopbackBase is added to the region's number to make the second byte of a
// loopback number.
const loopbackBase = 100

// scaleMap lists the zones of a scale run.
type scaleMap struct {
	zones, regions []string
	addresses      []string
}

var scaleLayout = newScaleMap()

func newScaleMap() scaleMap {
	var listed scaleMap
	for region, zones := range scaleRegions {
		for zone := range zones {
			number := len(listed.zones)
			listed.zones = append(listed.zones, fmt.Sprintf("region-%d-zone-%d", region+1, zone+1))
			listed.regions = append(listed.regions, fmt.Sprintf("region-%d", region+1))
			listed.addresses = append(listed.addresses, fmt.Sprintf("127.%d.%d.1:0", loopbackBase+region, number+1))
		}
	}
	return listed
}

// placeOfLoopback returns the place that an address of a scale run tells; other
// addresses, such as the platform's, are in the first zone.
func placeOfLoopback(address string) place {
	listed := scaleLayout
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	if err != nil || ip == nil || ip[0] != 127 || ip[1] < loopbackBase || int(ip[2]) > len(listed.zones) || ip[2] == 0 {
		return place{region: listed.regions[0], zone: listed.zones[0], node: platformPlace}
	}
	zone := int(ip[2]) - 1
	return place{region: listed.regions[zone], zone: listed.zones[zone], node: address}
}

// seatObject returns a seat as the object API would show it.
func seatObject(key string, version int64, lease *lapisv1.SeatLease) objectapi.Object {
	value, _ := proto.Marshal(lease)
	return objectapi.Object{Key: key, Version: version, Value: value}
}
