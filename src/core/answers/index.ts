/** Memory for answers that callers have not read yet. */
export { alwaysReadBytes, chooseDropped, computeBudgetBytes, decidePlainAnswer, mayReceive } from './answer-budget.js'
export type { BudgetUse, HeldAnswer } from './answer-budget.js'
