/** Records shared by all modules: identifiers, resources, targets, configuration, jobs, log records and errors. */
package org.chestnutbarrow.model;
