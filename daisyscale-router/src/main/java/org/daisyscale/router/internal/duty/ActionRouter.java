package org.daisyscale.router.internal.duty;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.router.internal.error.ShellErrorCode;
import org.daisyscale.router.internal.error.ShellException;

/**
 * Passes each action to the handler of its kind. {@link Builder#build} checks that every kind of action has a handler.
 * Immutable; used on the core thread.
 *
 * <pre>{@code
 * ActionRouter router = ActionRouter.builder()
 *         .on(Action.SendOrder.class, backendCalls::send)
 *         .on(Action.StopNow.class, action -> List.of())
 *         .build();
 * }</pre>
 */
public final class ActionRouter {
    private final Map<Class<? extends Action>, ActionHandler<Action>> handlerByKind;

    private ActionRouter(Map<Class<? extends Action>, ActionHandler<Action>> handlerByKind) {
        this.handlerByKind = Map.copyOf(handlerByKind);
    }

    /** Returns a builder without handlers. */
    public static Builder builder() {
        return new Builder();
    }

    /** Passes {@code action} to its handler and returns the events that the core must handle immediately. */
    public List<Event> route(Action action) {
        return handlerByKind.get(action.getClass()).handle(action);
    }

    /** Builds an {@link ActionRouter}. Not thread-safe. */
    public static final class Builder {
        private final Map<Class<? extends Action>, ActionHandler<Action>> handlerByKind = new HashMap<>();

        private Builder() {}

        /** Sets the handler of {@code kind}. */
        public <A extends Action> Builder on(Class<A> kind, ActionHandler<A> handler) {
            handlerByKind.put(kind, action -> handler.handle(kind.cast(action)));
            return this;
        }

        /** Sets a handler of {@code kind} that returns no events to the core. */
        public <A extends Action> Builder onWithoutFollowUps(Class<A> kind, Consumer<A> handler) {
            return on(kind, action -> {
                handler.accept(action);
                return List.of();
            });
        }

        /**
         * Returns the router.
         *
         * @throws ShellException if a kind of action has no handler
         */
        public ActionRouter build() {
            String missing = Arrays.stream(Action.class.getPermittedSubclasses())
                    .filter(kind -> !handlerByKind.containsKey(kind))
                    .map(Class::getSimpleName)
                    .collect(Collectors.joining(", "));
            if (!missing.isEmpty()) {
                throw new ShellException(ShellErrorCode.ACTION_WITHOUT_HANDLER, missing);
            }
            return new ActionRouter(handlerByKind);
        }
    }
}
