package org.chestnutbarrow.catalog;

/**
 * A configuration change that has taken effect. Immutable.
 *
 * @param id identifier of the change
 * @param author author of the change
 * @param baseVersion configuration version that the change replaced
 * @param version configuration version that the change created, which is the offset of its log record
 */
public record ConfigChange(String id, String author, long baseVersion, long version) {}
