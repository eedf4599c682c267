package org.chestnutbarrow.daemon;

import java.util.List;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.peer.PeerHandler;
import org.chestnutbarrow.peer.PeerMessage;

/**
 * Dispatches messages from peers to the components that handle them. Safe for use by several threads. Every request is
 * refused until {@link #setHandlers} is called, since the handlers are created after the link that they use.
 */
final class PeerDispatcher implements PeerHandler {
    private volatile Handlers handlers;

    /** The components that handle messages. */
    record Handlers(
            HeartbeatService heartbeats,
            RequestHandler requests,
            CatalogExchange catalog,
            WorkerTasks tasks,
            PlacementExecutor jobs,
            ExplanationService explanations) {}

    /** Sets the handlers and starts to dispatch messages to them. */
    void setHandlers(Handlers newHandlers) {
        handlers = newHandlers;
    }

    @Override
    public PeerMessage handle(DaemonId from, PeerMessage request) throws Exception {
        Handlers current = handlers;
        if (current == null) {
            return new PeerMessage.Failure("the daemon is starting");
        }
        return switch (request) {
            case PeerMessage.Heartbeat heartbeat -> current.heartbeats().answer(from, heartbeat);
            case PeerMessage.ForwardRequest forward -> current.requests().handleForwarded(forward);
            case PeerMessage.FetchCatalog _ -> current.catalog().snapshot();
            case PeerMessage.ConfirmPosition _ -> current.catalog().position();
            case PeerMessage.StartTask start -> current.tasks().start(start);
            case PeerMessage.ControlTask control -> current.tasks().control(control);
            case PeerMessage.FenceShard fence -> current.tasks().fence(fence);
            case PeerMessage.Explain explain ->
                new PeerMessage.Explanation(current.explanations().explainLocally(explain.id()));
            case PeerMessage.TasksChanged _,
                    PeerMessage.ForwardResponse _,
                    PeerMessage.TaskResult _,
                    PeerMessage.ShardTasks _,
                    PeerMessage.CatalogSnapshot _,
                    PeerMessage.Explanation _,
                    PeerMessage.Custom _,
                    PeerMessage.Position _,
                    PeerMessage.Failure _ ->
                new PeerMessage.Failure("not a request: " + request.getClass().getSimpleName());
        };
    }

    @Override
    public void receive(DaemonId from, PeerMessage message) {
        Handlers current = handlers;
        if (current != null && message instanceof PeerMessage.TasksChanged(var worker, var tasks)) {
            current.jobs().onTasksChanged(worker, List.copyOf(tasks));
        }
    }
}
