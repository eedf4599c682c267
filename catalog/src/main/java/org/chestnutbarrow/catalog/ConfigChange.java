package org.chestnutbarrow.catalog;

/**
 * A change of the configuration that took effect. Immutable.
 *
 * @param id the change's id
 * @param author who made it
 * @param baseVersion version that it replaced
 * @param version version that it made: the offset of its record
 */
public record ConfigChange(String id, String author, long baseVersion, long version) {}
