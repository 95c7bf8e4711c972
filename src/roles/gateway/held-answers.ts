/** Memory for the answers of upstreams that one entry holds. */
import { AnswerMemory } from '../../core/answer-memory.js'

/** Room for large answers, bytes: a small instance has little more memory beside its own needs. */
const maximumHeldBytes = 16 << 20

/** Shared by all requests of the process. */
export const heldAnswers = new AnswerMemory(maximumHeldBytes)
