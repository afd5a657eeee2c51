import java.nio.file.Path;

/** One of the three seeds is lost for good while the system starts for the first time. */
final class FirstStartCase extends Case {
    FirstStartCase(Path folder) throws Exception {
        super(folder);
    }

    @Override
    int run() throws Exception {
        prepare();
        fleet.startReplica(new Fleet.Replica("i-desk1", "desk", fleet.ip(31), "zone-a"),
            (replica, request) -> {});
        fleet.startList();
        for (Fleet.Host host : controls) host.start(true);
        for (Fleet.Host host : entries) host.start(true);
        Fleet.Host lost = controls.get(2);
        if (trouble) {
            lost.kill();
            lost.loseDisk();
            pause(2);
            Fleet.Host successor =
                fleet.new Host("control-d", fleet.ip(14), true, "zone-c", ips(controls));
            controls.set(2, successor);
            successor.start(false);
        }
        startClients("/book/one");
        boolean acknowledged = fleet.put(controls, bookings(7), 7, 45);
        pause(8);
        int[] all = between(record.now() - 6, record.now());
        record.say("served in the last seconds: " + all[1] + " of " + all[0]);
        return acknowledged && all[1] * 4 >= all[0] ? HELD : BROKEN;
    }
}
