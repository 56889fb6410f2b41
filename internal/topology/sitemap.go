package topology

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
	Zones, Regions []string
	Addresses      []string
}

var ScaleLayout = newScaleMap()

func newScaleMap() scaleMap {
	var listed scaleMap
	for region, zones := range scaleRegions {
		for zone := range zones {
			number := len(listed.Zones)
			listed.Zones = append(listed.Zones, fmt.Sprintf("region-%d-zone-%d", region+1, zone+1))
			listed.Regions = append(listed.Regions, fmt.Sprintf("region-%d", region+1))
			listed.Addresses = append(listed.Addresses, fmt.Sprintf("127.%d.%d.1:0", loopbackBase+region, number+1))
		}
	}
	return listed
}

// placeOfLoopback returns the place that an address of a scale run tells; other
// addresses, such as the platform's, are in the first zone.
func placeOfLoopback(address string) Place {
	listed := ScaleLayout
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	if err != nil || ip == nil || ip[0] != 127 || ip[1] < loopbackBase || int(ip[2]) > len(listed.Zones) || ip[2] == 0 {
		return Place{Region: listed.Regions[0], Zone: listed.Zones[0], Node: PlatformPlace}
	}
	zone := int(ip[2]) - 1
	return Place{Region: listed.Regions[zone], Zone: listed.Zones[zone], Node: address}
}

// SeatObject returns a seat as the object API would show it.
func SeatObject(key string, version int64, lease *lapisv1.SeatLease) objectapi.Object {
	value, _ := proto.Marshal(lease)
	return objectapi.Object{Key: key, Version: version, Value: value}
}
