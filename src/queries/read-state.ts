/** Reads the configuration in force from the log. */
import { emptyFold, foldPage } from '../core/configuration/fold.js'
import { readPage } from '../nodes/log-reader.js'
import type { LogClient } from '../transports/log-client.js'
import type { FoldState } from '../types/configuration.js'

/** Folds the log from `known` to its head. Throws if records after `known` have expired and no snapshot replaces them. */
export async function readState (client: LogClient, known: FoldState = emptyFold): Promise<FoldState> {
  let state = known
  for (;;) {
    const page = await readPage(client, state, Date.now())
    const folded = foldPage(state, page)
    if (folded.next >= page.next) return folded
    if (folded.next === state.next) throw new Error(`the log holds no snapshot that leads on from offset ${state.next}`)
    state = folded
  }
}
