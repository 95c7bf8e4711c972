/** States and records that come from a peer instead of the log. */
import { z } from 'zod'
import { configurationSchema, type FoldState } from '../../types/configuration.js'
import type { StoredRecord } from '../../types/platform.js'
import { digestState, foldRecord } from './fold.js'

const stateSchema = z.object({
  next: z.number().int().nonnegative(),
  revision: z.number().int().min(-1),
  revisions: z.record(z.string(), z.number().int()).readonly(),
  configuration: configurationSchema.optional(),
  digest: z.string()
}).readonly()

/** What a peer sent. */
export interface PeerUpdate {
  /** State in the form of `writeState`, or empty. */
  readonly snapshot: string
  readonly records: readonly StoredRecord[]
}

/** State as text with its digest. */
export function encodeState (state: FoldState): string {
  const { next, revision, revisions, configuration } = state
  return JSON.stringify({ next, revision, revisions, configuration, digest: digestState(state) })
}

/** Takes what a peer sent; the offset never falls, and a state whose digest does not match changes nothing. */
export function foldPeerUpdate (state: FoldState, update: PeerUpdate): FoldState {
  const offered = update.snapshot === '' ? undefined : decodeState(update.snapshot, state)
  const start = offered !== undefined && offered.next > state.next ? offered : state
  return update.records.reduce(foldRecord, start)
}

function decodeState (text: string, state: FoldState): FoldState | undefined {
  try {
    const { next, revision, revisions, configuration, digest } = stateSchema.parse(JSON.parse(text))
    const offered: FoldState = { next, revision, revisions, configuration, refused: state.refused }
    return digest === digestState(offered) ? offered : undefined
  } catch {
    return undefined
  }
}
