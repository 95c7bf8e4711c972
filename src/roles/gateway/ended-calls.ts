/** Calls of one request that have ended without an answer for its caller. */
import type { CallYield } from '../../core/dispatch/takeover.js'
import { countAttempts } from '../../core/dispatch/next-step.js'
import type { CallResult } from './call-result.js'

/** Counts ended calls by what their upstreams did, and tells what a further result is worth. */
export class EndedCalls {
  /** Calls whose upstream may have run the request. */
  ran = 0
  /** Calls that were withdrawn before their answer began; their upstream may have run it too. */
  withdrawn = 0
  /** Calls whose upstream certainly did not run it. */
  refused = 0
  /** Resumed streams that ended at once. */
  private empty = 0

  /** Upstreams that may have run the request. */
  get attempts (): number {
    return countAttempts(this)
  }

  /** Whether an upstream said that nothing is left of a resumed stream. */
  get hasEmpty (): boolean {
    return this.empty > 0
  }

  count (result: CallResult): void {
    if (result.kind === 'not-run') this.refused += 1
    else if (result.kind === 'lost' && result.reason === 'withdrawn') this.withdrawn += 1
    else this.ran += 1
    if (result.kind === 'stream-ended') this.empty += 1
  }

  /** What a result is worth to the caller; a stream that has begun is continued by a stream only, and a single upstream that says that nothing is left of it may be at fault. */
  yieldOf (result: CallResult, hasBegun: boolean): CallYield {
    if (result.kind === 'stream-ended') return result.isEmpty && !this.hasEmpty ? 'none' : 'usable'
    if (result.kind !== 'answer') return 'none'
    return result.head.status < 500 && !hasBegun ? 'usable' : 'error'
  }
}
