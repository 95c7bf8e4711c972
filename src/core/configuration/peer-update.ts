/** Updates from a peer: states and records that a node receives without reading the log. */
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

/** Update from a peer. */
export interface PeerUpdate {
  /** State as encoded by `encodeState`, or empty. */
  readonly snapshot: string
  readonly records: readonly StoredRecord[]
}

/** Encodes a state as JSON with its digest; refused records are left out. */
export function encodeState (state: FoldState): string {
  const { next, revision, revisions, configuration } = state
  return JSON.stringify({ next, revision, revisions, configuration, digest: digestState(state) })
}

/** Folds an update from a peer; an older state, or one that does not match its digest, is ignored. */
export function foldPeerUpdate (state: FoldState, update: PeerUpdate): FoldState {
  const received = update.snapshot === '' ? undefined : decodeState(update.snapshot, state)
  const start = received !== undefined && received.next > state.next ? received : state
  return update.records.reduce(foldRecord, start)
}

function decodeState (text: string, state: FoldState): FoldState | undefined {
  try {
    const { next, revision, revisions, configuration, digest } = stateSchema.parse(JSON.parse(text))
    const received: FoldState = { next, revision, revisions, configuration, refused: state.refused }
    return digest === digestState(received) ? received : undefined
  } catch {
    return undefined
  }
}
