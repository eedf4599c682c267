package org.chestnutbarrow.daemon;

import java.util.List;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.peer.PeerHandler;
import org.chestnutbarrow.peer.PeerMessage;

/**
 * Hands messages from peers to the parts that answer them. Safe for use by several threads. Until {@link #open} is
 * called every request is refused, since the parts are built after the link that they use.
 */
final class PeerDispatch implements PeerHandler {
    private volatile Parts parts;

    /** The parts that answer messages. */
    record Parts(
            Heartbeats heartbeats,
            RequestFront requests,
            PeerCatalog catalog,
            WorkerTasks tasks,
            JobRunner jobs,
            Explanations explanations) {}

    /** Begins to hand messages over. */
    void open(Parts all) {
        parts = all;
    }

    @Override
    public PeerMessage handle(DaemonId from, PeerMessage request) throws Exception {
        Parts known = parts;
        if (known == null) {
            return new PeerMessage.Failure("the daemon is starting");
        }
        return switch (request) {
            case PeerMessage.Heartbeat heartbeat -> known.heartbeats().answer(from, heartbeat);
            case PeerMessage.ForwardRequest forward -> known.requests().forwarded(forward);
            case PeerMessage.FetchCatalog _ -> known.catalog().snapshot();
            case PeerMessage.ConfirmPosition _ -> known.catalog().position();
            case PeerMessage.StartTask start -> known.tasks().start(start);
            case PeerMessage.ControlTask control -> known.tasks().control(control);
            case PeerMessage.FenceShard fence -> known.tasks().fence(fence);
            case PeerMessage.Explain explain ->
                new PeerMessage.Explanation(known.explanations().local(explain.id()));
            case PeerMessage.TasksChanged _,
                    PeerMessage.ForwardResponse _,
                    PeerMessage.TaskResult _,
                    PeerMessage.ShardTasks _,
                    PeerMessage.CatalogSnapshot _,
                    PeerMessage.Explanation _,
                    PeerMessage.Position _,
                    PeerMessage.Failure _ ->
                new PeerMessage.Failure("not a request: " + request.getClass().getSimpleName());
        };
    }

    @Override
    public void receive(DaemonId from, PeerMessage message) {
        Parts known = parts;
        if (known != null && message instanceof PeerMessage.TasksChanged(var worker, var tasks)) {
            known.jobs().tasksChanged(worker, List.copyOf(tasks));
        }
    }
}
