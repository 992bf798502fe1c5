package capacity

// The two-year size of the design page, and what is assumed where the page leaves it
// open.
const (
	workers       = 28_000
	pools         = 38
	teams         = 900
	changesPerDay = 12_000
	secondsPerDay = 86_400

	// Of the 23 availability zones three regions have three each and seven have two
	// each. An even split over two zones lets either half be reclaimed, so those have
	// eight entry hosts; the others have three in each zone.
	regions          = 10
	threeZoneRegions = 3
	twoZoneRegions   = regions - threeZoneRegions
	hostsThreeZones  = 9
	hostsTwoZones    = 8
	entryHosts       = threeZoneRegions*hostsThreeZones + twoZoneRegions*hostsTwoZones
	regionWorkers    = workers / regions
	ownedMinions     = regionWorkers / hostsTwoZones

	// busyTeams is the number of teams with requests at one entry host: a tenth of all,
	// as each client account has its callers in one region.
	busyTeams = teams / regions
	// requestRate is the number of non-idempotent requests per second of one entry host.
	// The bound of 200,000 ids for 11 minutes at two witnesses permits about 151.
	requestRate = 100
	// gatewaysPerRegion connect a region to the others (section 7 of the design).
	gatewaysPerRegion = 2
)

// Budgets of one entry host and of the store. Half of the store's several hundred
// writes is taken as 150, the half of 300.
const (
	cpuBudget       = 21.0 // milliseconds per second, 2.1% of a core
	memoryBudget    = 64.0 // MB
	bytesBudget     = 4096.0
	writesBudget    = 150.0
	readsBudget     = 1000.0
	rolloutBudget   = 9000.0 // milliseconds
	valueBudget     = 1 << 20
	idsBudget       = 200_000.0
	idKeptSeconds   = 660.0
	bytesPerMB      = 1 << 20
	millisPerSecond = 1000.0
	microsPerMilli  = 1000.0
)
