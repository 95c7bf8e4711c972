/** Admission of chunk uploads: a peer gets a chunk now, or learns when to retry. */

/** Concurrent uploads to peers. */
export const uploadSlots = 3

/** Assumed duration of an upload before the first one has finished. */
const defaultUploadMilliseconds = 50
/** Shortest retry interval, so that a busy instance is not flooded with requests. */
const minimumRetryMilliseconds = 10

/** Input of the admission decision. */
export interface UploadView {
  /** Uploads in progress. */
  readonly running: number
  /** Epoch milliseconds by which the rollout of the requesting peer should end. */
  readonly finishBy: number
  /** Earliest such deadline among recent requests. */
  readonly earliestFinishBy: number
  /** Moving average of the upload duration, milliseconds; 0 before the first upload. */
  readonly uploadMilliseconds: number
}

/** Send the chunk, or answer busy with the milliseconds after which to retry. */
export type UploadDecision =
  | { readonly type: 'send' }
  | { readonly type: 'busy', readonly retryMilliseconds: number }

/** Admits an upload if a slot is free; the last slot is reserved for the rollout with the earliest deadline. */
export function decideUpload (view: UploadView): UploadDecision {
  const slots = view.finishBy > view.earliestFinishBy ? uploadSlots - 1 : uploadSlots
  if (view.running < slots) return { type: 'send' }
  const typicalMilliseconds = view.uploadMilliseconds === 0 ? defaultUploadMilliseconds : view.uploadMilliseconds
  return { type: 'busy', retryMilliseconds: Math.max(minimumRetryMilliseconds, Math.ceil(typicalMilliseconds / uploadSlots)) }
}
