/** Reads the configuration in force from the log. */
import { emptyFold, foldPage } from '../core/configuration/fold.js'
import { streams, type LogClient } from '../transports/log-client.js'
import type { FoldState } from '../types/configuration.js'

/** State at the log's head. */
export async function readState (client: LogClient): Promise<FoldState> {
  let state = emptyFold
  for (;;) {
    const page = await client.read(streams.configuration, state.next, Date.now())
    const folded = foldPage(state, page)
    if (folded.next >= page.next || folded.next === state.next) return folded
    state = folded
  }
}
