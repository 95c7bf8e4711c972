/** Whether a peer gets a chunk now, or is told when to come back. */

/** Uploads to peers that run at once. */
export const uploadSlots = 3

const defaultUploadMilliseconds = 50
const minimumRetryMilliseconds = 10

/** What the decision looks at. */
export interface UploadView {
  readonly running: number
  /** Epoch milliseconds by which the asking peer's rollout should end. */
  readonly finishBy: number
  /** Earliest such deadline among the peers that asked of late. */
  readonly earliestFinishBy: number
  /** Usual length of an upload, milliseconds; 0 before the first. */
  readonly uploadMilliseconds: number
}

/** The answer to a peer that asks for a chunk. */
export type UploadDecision =
  | { readonly type: 'send' }
  | { readonly type: 'busy', readonly retryMilliseconds: number }

/** Decides; the last free slot is kept for the rollout whose deadline comes first. */
export function decideUpload (view: UploadView): UploadDecision {
  const slots = view.finishBy > view.earliestFinishBy ? uploadSlots - 1 : uploadSlots
  if (view.running < slots) return { type: 'send' }
  const typicalMilliseconds = view.uploadMilliseconds === 0 ? defaultUploadMilliseconds : view.uploadMilliseconds
  return { type: 'busy', retryMilliseconds: Math.max(minimumRetryMilliseconds, Math.ceil(typicalMilliseconds / uploadSlots)) }
}
