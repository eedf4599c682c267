/** A rig of real nodes with a stand-in platform, which injects faults by a seed and checks what workers and clients see. */
package org.chestnutbarrow.soak;
