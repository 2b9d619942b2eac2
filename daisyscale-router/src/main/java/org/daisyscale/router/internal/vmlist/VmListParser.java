package org.daisyscale.router.internal.vmlist;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.daisyscale.codec.CodecException;
import org.daisyscale.codec.json.JsonCodec;
import org.daisyscale.core.membership.VmRecord;

/** Parses the list of VMs and skips entries that are invalid or repeat an id. Safe for use by several threads. */
final class VmListParser {
    private final JsonCodec codec;

    VmListParser(JsonCodec codec) {
        this.codec = codec;
    }

    /**
     * Returns the valid entries of {@code json} and the problems of the others. An empty list is valid.
     *
     * @throws VmListException if the list is malformed, or has entries of which none is valid
     */
    Result parse(byte[] json) {
        List<TargetGroup> groups = parseGroups(json);
        List<VmRecord> vms = new ArrayList<>();
        List<String> problems = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < groups.size(); i++) {
            try {
                VmRecord vm = groups.get(i).toVmRecord();
                if (ids.add(vm.id())) {
                    vms.add(vm);
                } else {
                    problems.add("entry %d: the id %s is used by an earlier entry".formatted(i, vm.id()));
                }
            } catch (IllegalArgumentException e) {
                problems.add("entry %d: %s".formatted(i, e.getMessage()));
            }
        }
        if (vms.isEmpty() && !problems.isEmpty()) {
            throw new VmListException(
                    VmListErrorCode.MALFORMED_LIST, "the list has no valid entry; " + problems.get(0), null);
        }
        return new Result(vms, problems);
    }

    private List<TargetGroup> parseGroups(byte[] json) {
        try {
            List<TargetGroup> groups = codec.readList(json, TargetGroup.class);
            if (groups.contains(null)) {
                throw new VmListException(VmListErrorCode.MALFORMED_LIST, "an entry is null", null);
            }
            return groups;
        } catch (CodecException e) {
            throw new VmListException(VmListErrorCode.MALFORMED_LIST, e.getMessage(), e);
        }
    }

    /**
     * The outcome of parsing a list. Immutable.
     *
     * @param vms the valid entries
     * @param problems what is wrong with each of the other entries
     */
    record Result(List<VmRecord> vms, List<String> problems) {

        Result {
            vms = List.copyOf(vms);
            problems = List.copyOf(problems);
        }
    }
}
