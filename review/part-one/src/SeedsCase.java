import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Four machines serve control. Those that lose their disks, one after the other, are started with
 * settings whose seeds don't name the machine that leads at that time.
 */
final class SeedsCase extends Case {
    SeedsCase(Path folder) throws Exception {
        super(folder);
    }

    @Override
    int run() throws Exception {
        prepare();
        if (!begin()) return NOT_RUN;
        startClients("/book/one");
        Fleet.Host added =
            fleet.new Host("control-d", fleet.ip(14), true, "zone-a", ips(controls));
        controls.add(added);
        added.start(false);
        pause(8);
        Fleet.Host leader = leader();
        if (leader == null) return NOT_RUN;
        List<Fleet.Host> others = new ArrayList<>(controls);
        others.remove(leader);
        record.say(leader.name + " leads");
        long version = 9;
        for (Fleet.Host host : others) {
            if (!fleet.put(controls, bookings(version), version, 8)) break;
            version += 2;
            host.kill();
            if (trouble) host.loseDisk();
            pause(1);
            host.seeds = ips(others);
            host.start(false);
            // catchUpS is 4; nothing else happens for twice that.
            pause(9);
        }
        double back = record.now() - 9;
        pause(7);
        long last = readBack(10);
        int[] before = between(0, back - 2);
        int[] after = between(back + 16, record.now());
        record.say("served before: " + before[1] + " of " + before[0] + ", later than recoveryS: "
            + after[1] + " of " + after[0]);
        if (before[1] * 4 < before[0] || after[0] < 40) return NOT_RUN;
        return last < version - 2 || after[1] * 4 < after[0] ? BROKEN : HELD;
    }
}
