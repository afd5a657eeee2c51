import java.nio.file.Path;
import java.util.List;

/**
 * A core machine is removed for good after its successor has had catchUpS, and then another one loses
 * its disk right after a configuration was acknowledged.
 */
final class ReplacementCase extends Case {
    ReplacementCase(Path folder) throws Exception {
        super(folder);
    }

    @Override
    int run() throws Exception {
        prepare();
        if (!begin()) return NOT_RUN;
        startClients("/book/one");
        pause(3);
        Fleet.Host a = controls.get(0);
        Fleet.Host b = controls.get(1);
        Fleet.Host successor =
            fleet.new Host("control-d", fleet.ip(14), true, "zone-a", ips(controls));
        controls.add(successor);
        successor.start(false);
        // catchUpS is 4; the successor gets twice that.
        pause(8);
        if (fleet.read(successor) != 7) return NOT_RUN;
        a.kill();
        double removed = record.now();
        record.say("control-a is removed for good, its successor has run for 8 s");
        if (!fleet.put(controls.subList(1, 4), bookings(9), 9, 6)) return NOT_RUN;
        while (record.now() < removed + 1.5) pause(0.05);
        if (!fleet.put(controls.subList(1, 4), bookings(11), 11, 6)) return NOT_RUN;
        if (trouble) {
            b.kill();
            b.loseDisk();
            pause(1);
            b.seeds = List.of(b.ip, controls.get(2).ip, successor.ip);
            b.start(false);
        }
        double back = record.now();
        // recoveryS is 12, catchUpS 4.
        pause(16);
        long last = readBack(10);
        int[] before = between(0, back - 1);
        int[] after = between(back + 16, record.now());
        record.say("served before: " + before[1] + " of " + before[0] + ", later than recoveryS: "
            + after[1] + " of " + after[0]);
        if (before[1] * 4 < before[0] || after[0] < 40) return NOT_RUN;
        return last < 11 || after[1] * 4 < after[0] ? BROKEN : HELD;
    }
}
