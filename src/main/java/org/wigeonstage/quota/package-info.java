/** Limits shared by all gateways: quotas of client accounts and retry budgets of pools. */
@NullMarked
package org.wigeonstage.quota;

import org.jspecify.annotations.NullMarked;
