package org.chestnutbarrow.bench;

import java.util.List;

/**
 * How large a deployment of the slopes experiment is.
 *
 * @param workers number of workers
 * @param daemons number of daemons
 * @param tasks tasks that run all the time, ten to a job
 * @param jobs open jobs that wait for their team's quota
 * @param classes classes in the configuration
 */
record DeploymentSize(int workers, int daemons, int tasks, int jobs, int classes) {
    static final DeploymentSize BASE = new DeploymentSize(12, 3, 0, 0, 3);

    /** What is varied while everything else stays at {@link #BASE}. */
    enum Axis {
        workers,
        daemons,
        tasks,
        jobs,
        classes;

        List<Integer> sizes() {
            return switch (this) {
                case workers -> List.of(6, 12, 24, 48, 96);
                case daemons -> List.of(2, 3, 5, 8);
                case tasks -> List.of(0, 100, 300, 1000);
                case jobs -> List.of(0, 300, 1000, 3000);
                case classes -> List.of(3, 100, 300, 1000);
            };
        }
    }

    /** The base with one axis at another size. */
    static DeploymentSize of(Axis axis, int size) {
        return switch (axis) {
            case workers -> new DeploymentSize(size, BASE.daemons, BASE.tasks, BASE.jobs, BASE.classes);
            case daemons -> new DeploymentSize(BASE.workers, size, BASE.tasks, BASE.jobs, BASE.classes);
            case tasks -> new DeploymentSize(BASE.workers, BASE.daemons, size, BASE.jobs, BASE.classes);
            case jobs -> new DeploymentSize(BASE.workers, BASE.daemons, BASE.tasks, size, BASE.classes);
            case classes -> new DeploymentSize(BASE.workers, BASE.daemons, BASE.tasks, BASE.jobs, size);
        };
    }
}
